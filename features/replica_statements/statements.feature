Feature: what a replica says belongs to one of its processes

  Scenario: a leaving replica whose entry lapses
    # Guards against new work for a leaving replica whose entry returns.
    Given a daemon with two replicas of a service
    When one says that it leaves
    And its entry lapses and returns with a higher sequence number
    Then it gets no work, and the other one does
    And it gets work at once as its id has started again

  Scenario: a leaving replica that a whole list leaves out for a while
    # Guards against new work for a leaving replica after the list is read again.
    Given a daemon with two replicas of a service
    When one says that it leaves
    And a list without it comes, and then one with it
    Then it gets no work, and the other one does
    And another id at its address gets work at once

  Scenario: what is kept of replicas that leave is bounded
    # Guards against memory that grows with every replica that ever left.
    Given a daemon with two replicas of a service
    When one says that it leaves
    Then thousands that have no entry leave room for new ones

  Scenario: a leaving replica that does not come back
    # Guards against marks that are kept for good.
    Given a daemon with two replicas of a service
    When one says that it leaves
    Then it is forgotten once it has had no entry for two minutes

  Scenario Outline: rests of <rests> seconds
    # Guards against a rest that a shorter one ends.
    Given a daemon with two replicas of a service
    When one asks for rests of <rests> seconds in turn
    Then an answer 200 within the rest does not end it
    And a process that starts under its id has asked for no rest
    And it gets nothing for <kept> seconds, and then something

    Examples:
      | rests | kept |
      | 3     | 3    |
      | 3,1   | 3    |
      | 1,2.5 | 2.5  |

  Scenario: a rest of years
    # Guards against a replica that a malformed answer takes out of service.
    Given a daemon with two replicas of a service
    When one asks for rests of 1000000000 seconds in turn
    Then the longest rest kept to is a minute

  Scenario Outline: an answer <status> with <headers>
    # Guards against a rest or a leaving that no replica has told.
    When an answer of a replica is <status> with <headers>
    Then it has said <said>

    Examples:
      | status | headers                                    | said              |
      | 503    | retry-after: 3                             | rest for 3000 ms  |
      | 503    | Retry-After: 0.25                          | rest for 250 ms   |
      | 200    | retry-after: 3                             | nothing           |
      | 429    | retry-after: 3                             | nothing           |
      | 502    | retry-after: 3                             | nothing           |
      | 503    | retry-after: 0                             | nothing           |
      | 503    | retry-after: -1                            | nothing           |
      | 503    | retry-after: nan                           | nothing           |
      | 503    | retry-after: inf                           | nothing           |
      | 503    | retry-after:                               | nothing           |
      | 503    | retry-after: Fri, 04 Dec 2026 05:00:00 GMT | nothing           |
      | 503    | retry-after: 1; retry-after: 3             | nothing           |
      | 503    | no header                                  | nothing           |
      | 200    | server-leaving: 1                          | that it leaves    |
      | 503    | server-leaving: 1                          | that it leaves    |
      | 200    | server-leaving: 0                          | nothing           |
