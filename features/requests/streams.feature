Feature: streamed answers arrive whole, in order and in time

  Scenario: a stream goes on where its engine was killed
    # A crew reads a phasing summary as it is written. The engine's process
    # dies in the middle of a sentence. The text must go on at the next word,
    # with none missing and none said twice.
    Given a pool of 3 engines
    When a request streams and its engine is killed after 5 tokens
    Then the stream is whole, in order and its own
    And the stream was resumed

  Scenario: a stream goes on where its engine froze
    # The engine's host hangs: connections stay open and nothing comes. The
    # stall must be noticed while there is time to go on elsewhere.
    Given a pool of 3 engines
    When a request streams and its engine freezes after 5 tokens
    Then the stream is whole, in order and its own
    And the stream was resumed

  Scenario: a stream that trickles past its deadline is ended at the deadline
    # Every token comes just in time to look alive, and the whole would take
    # ten times the deadline. The caller must be told at the deadline.
    Given a pool of 3 engines
    When a request streams at 400 ms a token
    Then the stream ended at its deadline with a true refusal

  Scenario: the first token does not wait for a straggler
    # The engine chosen is stuck before its first token. Another one is asked,
    # and the caller reads the answer of the first that begins.
    Given a pool of 3 engines
    And streams have gone well for a while
    When engine-1 becomes 100 times slower
    And 60 streams come one every 40 ms
    Then all of them were answered whole
    And every first token came within 100 ms
