Feature: streamed answers arrive complete, in order and in time

  Scenario: a stream resumes after its engine was killed
    # The engine's process is killed in the middle of a stream. The stream must
    # resume at the next token, with none missing and none repeated.
    Given a pool of 3 engines
    When a request streams and its engine is killed after 5 tokens
    Then the stream is complete, in order and for its own request
    And the stream was resumed

  Scenario: a stream resumes after its engine froze
    # The engine's host hangs: connections stay open and no data arrives. The
    # stall must be detected while there is time to resume at another engine.
    Given a pool of 3 engines
    When a request streams and its engine freezes after 5 tokens
    Then the stream is complete, in order and for its own request
    And the stream was resumed

  Scenario: a slow stream is ended at its deadline
    # Each token arrives within the time-out for a token, but the stream would
    # last beyond the deadline. The caller must get a failure at the deadline.
    Given a pool of 3 engines
    When a request streams at 400 ms a token
    Then the stream ended at its deadline with a correct refusal

  Scenario: the first token does not wait for a straggler
    # The chosen engine is slow to send its first token. The attempt is hedged,
    # and the caller gets the stream that starts first.
    Given a pool of 3 engines
    And streams have succeeded for a while
    When engine-1 becomes 100 times slower
    And 60 streams arrive one every 40 ms
    Then all of them got complete answers
    And every first token arrived within 100 ms

  Scenario: a stream stays at a paused engine while no retry may be made
    # Guards against a stream of a sound engine that is given up at a pause,
    # and then ended as its retry is refused.
    Given a pool of 3 engines
    And the budget of retries is spent
    When a request streams and its engine pauses for 1200 ms after 5 tokens
    Then the stream is complete, in order and for its own request
    And the engine was called once

  Scenario: a stream that has not begun stays while no retry may be made
    # Guards against the same before the first token, with half of the time
    # left.
    Given a pool of 3 engines
    And the budget of retries is spent
    When a request streams and its engine pauses for 2000 ms after 0 tokens
    Then the stream is complete, in order and for its own request
    And the engine was called once

  Scenario: a stage that is not streamed waits while no retry may be made
    # Guards against a request that is refused with half of its time left.
    Given a pool of 3 engines
    And the budget of retries is spent
    When a request is sent and its engine pauses for 2000 ms
    Then all of them got complete answers
    And the engine was called once

  Scenario: several streams that pause together share what the budget has
    # Guards against retries that are counted on when a pause begins, and are
    # spent by others when it is too long.
    Given a pool of 1 engines
    And the budget has 2 retries
    When 6 requests stream and their engine pauses for 1200 ms
    Then all of them got complete answers
    And extra calls were made for 2 streams
