Feature: connections that another daemon makes

  Scenario Outline: <way> through a tunnel
    # Guards against answers that are changed, cut short or doubled on their way
    # through another daemon.
    Given a daemon that makes connections, and a server that <way>
    When a request is sent through it
    Then the asker gets <what>

    Examples: servers
      | way                                | what                 |
      | answers at once                    | the whole answer     |
      | answers 4 MB                       | the whole answer     |
      | ends its answer with its connection | the whole answer     |
      | resets its connection midway       | a broken answer      |
      | refuses connections                | that it is refused   |
      | is not known                       | no verdict           |
      | fails as all others do             | no verdict           |
      | wants nothing from it              | that it is not wanted |

  Scenario: an asker that leaves ends the request at the server
    # Guards against replicas that go on working for callers that have left.
    Given a daemon that makes connections, and a server that waits
    When a request is sent through it and given up
    Then the server sees its connection end within 100 ms
    And no tunnel is left

  Scenario: an asker that does not read
    # Guards against tunnels that are counted nowhere, or that leak.
    Given a daemon that makes connections, and a server that answers 40 MB
    When a request is sent through it and its answer is not read
    Then bytes are held for the tunnel until it ends

  Scenario: a daemon without tunnels refuses to make connections
    # Guards against listeners for callers that connect to any address.
    Given a daemon that makes no connections
    When a tunnel is asked for
    Then the asker learns that there is none

  Scenario Outline: a tunnel that ends by <end> at any byte
    # Guards against an answer without a length that looks whole as the daemon
    # between has ended.
    Given a daemon between that passes on frames, and ends by <end> at any byte
    When an answer without a length is asked for through it
    Then it is whole only with its end mark, and broken otherwise

    Examples: ends
      | end       |
      | a close   |
      | a reset   |

  Scenario Outline: <asker> through <relay>
    # Guards against answers that are refused, or that look whole and are not,
    # while daemons of two releases run.
    Given <asker> and <relay>
    When an answer <framing> is asked for through the tunnel
    Then <what> comes of it

    Examples: releases
      | asker                         | relay                         | framing          | what                |
      | a daemon of this release      | a daemon of the one before    | with a length    | the whole answer    |
      | a daemon of this release      | a daemon of the one before    | without a length | a broken answer     |
      | a daemon of the one before    | a daemon of this release      | with a length    | the whole answer    |
      | a daemon of the one before    | a daemon of this release      | without a length | the whole answer    |

  Scenario Outline: a relay's process that gets <signals>
    # Guards against ends of a real process that the kernel turns into the end
    # of an answer.
    Given a relay as a process, and an answer without a length on its way
    When the relay gets <signals>
    Then the asker gets a broken answer

    Examples: signals
      | signals             |
      | SIGKILL             |
      | SIGTERM             |
      | SIGSTOP and SIGKILL |
