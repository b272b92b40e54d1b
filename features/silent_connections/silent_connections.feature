Feature: connections to backend servers that go silent

  Scenario: open connections go silent while new ones work
    # Requests go well through a middlebox, which then loses its table. The
    # daemon's idle connections look open, and what is sent on them is lost.
    # The caller must get the whole answer over a new connection, and the
    # backend server, which is well, must not be taken for dead.
    Given a daemon before one engine behind a relay
    When 8 requests are answered and the relay forgets its connections
    Then the next request is answered whole over a new connection
    And 3 more requests are answered whole without a further retry

  Scenario: an engine's process is killed in the middle of a stream
    # The kernel resets the connection; the crew's text goes on elsewhere.
    Given a daemon before two engines that take 20 ms for a token
    When a stream's engine gets SIGKILL after 5 tokens
    Then the stream ends whole, with every token once and in order

  Scenario: an engine is frozen in the middle of a stream and wakes later
    # The connection stays open and silent. The stream goes on elsewhere, and
    # what the engine sends once it wakes must reach nobody.
    Given a daemon before two engines that take 20 ms for a token
    When a stream's engine gets SIGSTOP after 5 tokens
    Then the stream ends whole, with every token once and in order
    When the frozen engine gets SIGCONT
    Then 20 requests after that get their own whole answers
