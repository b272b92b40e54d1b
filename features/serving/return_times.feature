Feature: return times of refused callers

  Scenario: a refused burst does not return as a burst
    # Callers that all return when the backlog has drained are a second burst:
    # most of them are refused again, until they give up.
    Given a stage service at three quarters of its capacity
    When one kind of request arrives at 3 times its rate for 6 seconds
    Then at least 95 of 100 urgent requests are on time
    And at least 90 of 100 refused requests that can be served are served
    And no second burst exceeds 1.3 times the capacity
    And random return times miss one of these bounds

  Scenario: a caller that returns on time is served before new arrivals
    # A retry that is queued as a new arrival finds the backlog that it was
    # refused for, and is refused again.
    Given a stage service whose backlog exceeds the time of requests
    When a request is refused and returns at its time
    Then it is queued ahead of new arrivals of its priority
    And the same request without a digest is refused again

  Scenario: a caller that returns does not pass more urgent requests
    # A burst that was refused would delay the requests that it must not harm.
    Given a stage service whose backlog exceeds the time of requests
    When requests of priority 0, 1 and 2 are queued and one of 1 and 2 returns
    Then each is queued ahead of its own priority, and behind priority 0

  Scenario: a caller that returns does not pass its customer's share
    # Guards against a customer that floods a service, is refused, and gets
    # ahead of all others with the places of its refused requests.
    Given a stage service whose backlog exceeds the time of requests
    When a request over its customer's share returns behind one within its own
    Then the one within its share is computed first

  Scenario: returning callers are new arrivals once the reservations are lost
    # The decider that made the reservations has died. A request whose
    # reservation is unknown must neither fail nor wait for it.
    Given a stage service whose backlog exceeds the time of requests
    When a request is refused and returns to a decider without reservations
    Then it is treated as a new arrival

  Scenario Outline: a reservation is valid around its time alone
    # One that never ends would let a caller pass the queue at any time.
    Given a reservation
    When its request returns <ms> ms after its time
    Then its place is <valid>

    Examples:
      | ms    | valid   |
      | -250  | invalid |
      | -150  | valid   |
      | 1450  | valid   |
      | 1550  | invalid |

  Scenario: a reservation is used once, and unknown ones are not valid
    # Callers could pass the queue any number of times with one reservation.
    Given a reservation
    When its request returns 0 ms after its time
    Then a second request with its digest has no place
    And a request with an unknown or empty digest has none

  Scenario: places are paced by the capacity, up to a third of the time left
    # With places in excess of the capacity the return is a burst. A caller that
    # can't wait for its place would return at a time that suits nobody.
    Given reservations for more requests than the capacity can serve in time
    Then no slot has more pieces than its share of the capacity
    And callers beyond it are told when there is capacity, without a place

  Scenario Outline: a daemon that refuses early asks the decider first
    # It refuses by a reported backlog. Without asking, it would refuse callers
    # that return at the time that they were told.
    Given a daemon whose stages are behind and whose decider <answers>
    When a request comes that the daemon would refuse
    Then it is <outcome> within 150 ms, after one message of at most 300 bytes

    Examples:
      | answers                     | outcome           |
      | says that the request is due | served            |
      | has a place in 1700 ms      | told 1700 ms      |
      | is silent                   | told the backlog  |
      | is of an older release      | told the backlog  |
      | answers nonsense            | told the backlog  |
      | has moved                   | told the backlog  |

  Scenario: a caller that returns on time is not held back
    # It is late for its objective as a rule. Held back for 2.5 s like other late
    # requests, it would miss the time of its reservation.
    Given a daemon whose stages are behind and whose decider says that the request is due
    When a request returns that the daemon would hold back
    Then it is served within 150 ms, after one message of at most 300 bytes

  Scenario: a decider answers questions with its reservations
    # The daemon refuses in the decider's place, so the place must be valid at
    # the decider.
    Given a stage service whose backlog exceeds the time of requests
    When a daemon asks for the return time of a request
    Then the request has a place and is due at its time
    And malformed questions are refused

  Scenario: a burst of refusals is not a burst of questions
    # Each refused request would cost a message in the moment of overload.
    Given a daemon whose stages are behind and whose decider has a place in 1700 ms
    When 300 requests come in the same second
    Then the decider is asked 10 times

  Scenario: the reservation table is bounded
    # Each refused request adds an entry; a long overload would use up memory.
    Given a reservation table of 5 entries
    When 8 requests are refused
    Then 5 have a reservation and all have a time to return
    And the table is empty once all have expired
