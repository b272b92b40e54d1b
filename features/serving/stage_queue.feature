Feature: the order of pieces and the composition of calls

  Scenario: pieces of different requests share a call
    # A call has a fixed cost of 150 ms. One call per request would use up the
    # replicas of a service at a third of the load they can carry.
    Given a stage queue with calls of 5 pieces and one replica
    When three requests of 2 pieces are queued
    Then the first call holds 5 pieces of three requests

  Scenario: a started group is finished before another one is started
    # Results of an incomplete group occupy replica memory without use. Many
    # incomplete groups filled the memory, and no group was completed any more.
    Given a stage queue with calls of 5 pieces and one replica
    When a request of 8 pieces is queued and a more urgent one after its first call
    Then the second call finishes the first request

  Scenario: requests that can no longer be on time go last
    # In a burst more pieces arrive than can be computed. Ordered by their
    # objectives all of them were late, at full load.
    Given a stage queue with calls of 5 pieces and one replica
    When a late request and one that can be on time are queued
    Then the one that can be on time goes first

  Scenario: the more urgent request goes first
    Given a stage queue with calls of 5 pieces and one replica
    When requests of priority 2 and 0 are queued, 5 pieces each
    Then the first call is all of priority 0

  Scenario: a replica's memory for results is not overfilled
    # A piece that finds no free memory costs its whole call and has no result.
    Given a stage queue whose replicas have memory for 4 results
    When a request of 7 pieces is queued
    Then the first call holds 4 pieces and no other follows
    And once two results are freed a call of 2 pieces follows

  Scenario: memory in use by unknown results is estimated until they expire
    # A daemon died while its results were in the replicas' memory. Its
    # successor has no record of them, sends full calls, and every piece of them
    # is rejected for lack of memory.
    Given a stage queue whose replicas have memory for 4 results
    When a call finds no memory for its pieces
    Then the next call comes later and is smaller
    And after the lifetime of results it is full again

  Scenario: one result that is too large does not block a replica
    # Results have about their announced size. One of five was larger and found
    # no memory. The replica counted as full: for four seconds it got calls of a
    # piece or two, while thirty were queued.
    Given a stage queue whose replicas have memory for 9 results
    When the last piece of a call finds no memory
    Then the next call uses all free memory of the replica

  Scenario: a refused call does not count as an attempt
    # The replica runs a call of another daemon and refuses at once.
    Given a stage queue with calls of 5 pieces and one replica
    When a call is refused ten times
    Then its pieces are still queued

  Scenario: a piece that keeps failing is abandoned
    Given a stage queue with calls of 5 pieces and one replica
    When a call fails four times
    Then its pieces are settled as failed

  Scenario: pieces whose call failed are soon in a call again
    # Guards against pieces that are never checked again after their call
    # failed.
    Given a stage service with one replica and requests that wait 3 seconds
    When a request's first call fails, in each way that a call can fail
    Then its pieces are in a call within 100 ms of when one can be made
    And it is refused before its deadline if no replica comes back
    And the service does not wake while no piece is queued

  Scenario: a piece that cannot meet its deadline is settled as late
    # Its caller has left by then; computing it would delay other requests.
    Given a stage queue with calls of 5 pieces and one replica
    When a request waits until shortly before its deadline
    Then its pieces are settled as late and never sent

  Scenario: a slow replica gets a call only if it would finish sooner
    # One replica of three takes four times as long. A call that it gets because
    # it is free ends late, where the other replicas would have ended it in
    # time.
    Given a stage queue with calls of 5 pieces and two replicas
    When one replica was measured to be 6 times slower
    Then it gets no call while the other one would finish sooner

  Scenario: infeasible requests do not hide the backlog of feasible ones
    # More pieces arrive than can be computed. A reader of the backlog has to
    # know that most requests would wait for seconds, and that the few that are
    # started in time would not.
    Given a stage queue with calls of 5 pieces and one replica
    When pieces arrive twice as fast as calls can hold them
    Then the reported backlog grows, and that of feasible pieces is bounded

  Scenario: pieces stay near large inputs while that is in time
    # Sixteen pieces each fetch all results of the previous stage. Computed in
    # another data centre they transfer thirty times the volume of the answers.
    Given a stage queue with calls of 5 pieces and two replicas
    When pieces whose inputs are at the busy replica are queued
    Then the free replica skips them
    And it takes them once more are queued than the next call holds

  Scenario: no order of events loses or duplicates a piece
    # Pieces are added, sent, answered, refused, lost and cancelled in any
    # order. Each must be settled once, be in one call at a time, and never be
    # sent after it was cancelled.
    When the queue machine runs 150 examples
    Then it finds no violated invariant
    And it finds one in a queue that does not remove sent pieces

  Scenario Outline: shared calls carry a <pattern> load
    # Rates and times are the users' requirements for their narrowest stage: 3
    # replicas, 5 pieces a call, 150 ms a call and 25.6 ms a piece. Requests
    # have 1 to 4 pieces and 800 ms.
    When <rate> requests a second arrive for 20 seconds, <pattern>
    Then at least <shared> of 100 are on time with shared calls
    And at most <alone> of 100 with a call for each request

    Examples:
      | pattern | rate | shared | alone |
      | steady  | 14   | 98     | 55    |
      | burst   | 20   | 90     | 15    |

  Scenario: in a burst most are on time, and no policy exceeds the bound
    # For some seconds the load is two thirds above the capacity of all
    # replicas. Ordered by deadline or by arrival, nearly all requests are late.
    When the named patterns are simulated with each policy
    Then no policy exceeds the capacity of all replicas in full calls
    And in bursts the queue has at least 10 of 100 more than any naive one
