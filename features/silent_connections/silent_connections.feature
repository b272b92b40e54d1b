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

  Scenario Outline: a replica of <service> falls silent for a second and goes on
    # Guards against requests that are given up, or sent again although they may
    # run once only, as a sound replica pauses.
    Given daemons and replicas of which one of <service> is silent twice for 1.2 s
    When they are played with two seeds
    Then no request fails or is refused, and none runs twice

    Examples: services
      | service |
      | models  |
      | roster  |
      | desk    |

  Scenario: engines pause for two seconds while daemons have no share of retries
    # Guards against streams that are broken off by daemons, as they leave
    # engines that only pause and may not send a retry.
    Given daemons that have just started, and engines that pause for 2 s
    When they are played with four seeds
    Then no daemon breaks off an answer that it has begun

  Scenario Outline: a host that is silent for 1.5 s <when>
    # Guards against TCP_USER_TIMEOUT, which also decides when keep-alive probes
    # give up: with a value near the idle time one lost probe ended a connection.
    When a connection's other host is silent for 1.5 s <when>
    Then Linux keeps the connection, whenever the silence begins
    And ends it within four seconds if the silence stays

    Examples: connections
      | when                     |
      | while nothing is sent    |
      | after bytes were sent    |
