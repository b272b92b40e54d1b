Feature: a replica that pauses is left only for something better

  Scenario Outline: a daemon without a share of retries awaits <answer>
    # Guards against an answer that is given up because its replica pauses
    # before it is known that a retry may be sent: nothing follows then.
    Given a daemon that has just started, and two replicas
    When <answer> is late by a pause of its replica that is sound
    Then its caller gets it whole, and the other replica was sent nothing

    Examples: answers
      | answer                     |
      | the middle of a stream     |
      | the first event of a stream |
      | the answer to a lookup     |

  Scenario Outline: a daemon with a share of retries leaves a replica that hangs in <answer>
    # Guards against waiting for a replica that has ended without a sign.
    Given a daemon that has its share of retries, and two replicas
    When <answer> does not come from the replica that was asked
    Then its caller gets it whole, in part from the other replica

    Examples: answers
      | answer                     |
      | the middle of a stream     |
      | the first event of a stream |
      | the answer to a lookup     |

  Scenario: a stream stays at a paused replica while stages of a retry are refused
    # Guards against a stream that is given up although the inputs of its next
    # attempt can't be computed.
    Given a daemon that has its share of retries, and two replicas
    And a stage service that is full once the stream has begun
    When the middle of a stream is late by a pause of its replica that is sound
    Then its caller gets it whole, and the other replica was sent nothing

  Scenario: a stream that began early goes on after the time to begin it has passed
    # Guards against resumed streams that are given no time, as if they still
    # had to begin.
    Given a daemon that has its share of retries, and two replicas
    And a stage service
    When a stream breaks off after the time within which it had to begin
    Then its caller gets it whole, in part from the other replica

  Scenario: silence counts against a replica although its attempts go on
    # Guards against requests that go on to a replica which answers nothing, as
    # none of its attempts has ended yet.
    Given a daemon that has just started
    When its only replica hangs with two requests for half of their time
    Then the daemon has counted two failures of it, and the requests go on

  Scenario: a daemon without a share of retries avoids a replica that hangs
    # Guards against callers that are sent to a replica that hangs again and
    # again, as nothing is learnt from a silence for which no retry may be sent.
    Given a daemon that has just started, and two replicas
    When the replica that has served hangs, and four callers ask 8 times each
    Then at most one request of each caller is sent to it
