Feature: connections of callers end with an answer to what was read

  Scenario: a request that comes in the moment of the end
    # Guards against bytes that were there as an idle connection was closed.
    Given a front whose answers come at once
    When a request comes on a kept connection just as a stop closes it
    Then the request is answered and the connection ends

  Scenario: a connection that is kept ends with its answer
    # Guards against a stop that waits for connections to be idle for long.
    Given a front whose answers take 300 ms
    When it ends while an answer is under way that did not ask to leave
    Then the answer is whole, and the front has ended within a second

  Scenario: half a request behind an answer
    # Guards against a part of a request that is dropped without a word.
    Given a front whose answers take 300 ms
    When half a request follows one whose answer comes after all is refused
    Then the first one is answered and the second one is refused

  Scenario: an unfinished answer that a stop ends is reset
    # Guards against a cut answer that looks complete to older callers.
    Given a front whose answers never end
    When it ends every connection after an answer has begun
    Then the caller's connection is reset

  Scenario: an unfinished answer that an error ends is reset
    # Guards against a cut answer that looks complete to older callers.
    Given a front whose answers end in an error
    When a caller asks for one
    Then the caller's connection is reset

  Scenario: a caller that leaves in the middle of its answer
    # Guards against logs that call it an error of the daemon.
    Given a front whose answers are large
    When a caller leaves in the middle of its answer
    Then no error is logged

  Scenario: a HEAD that is refused
    # Guards against a refusal that breaks on the body that it must not have.
    Given a front whose answers come at once
    When a HEAD comes with a body that is too large
    Then it is refused with a head alone

  Scenario: a caller that is accepted as the front ends, and is silent
    # Guards against a silent connection that holds the end of a stop.
    Given a front whose answers come at once
    When a caller connects to a front that is ending and sends nothing
    Then its connection ends within a second
