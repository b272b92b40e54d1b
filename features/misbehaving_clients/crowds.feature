Feature: clients that don't behave end no process and keep nobody out

  Scenario Outline: a crowd sends <sends> to the <port> port
    # Guards against a process that is killed for its memory, runs out of
    # descriptors or hangs, since callers hold what nobody counts.
    Given a daemon of a host with 100 MB and 600 descriptors
    When <count> clients send <sends> to its <port> port
    Then the process lives, within its memory and its descriptors
    And an ordinary request is answered

    Examples:
      | count | port      | sends                                         |
      | 250   | front     | chunked bodies that stop short of their end   |
      | 250   | front     | the same with an unknown key                  |
      | 250   | front     | chunks of a byte that stop short of their end |
      | 250   | front     | chunks of a byte without end                  |
      | 250   | front     | chunks without end                            |
      | 250   | front     | bodies that lack their last byte              |
      | 250   | front     | whole bodies whose answers nobody reads       |
      | 250   | front     | a length of 9 GB, and on after the refusal    |
      | 250   | front     | requests of 60 kB behind each other           |
      | 250   | front     | a header line without end                     |
      | 500   | front     | nothing                                       |
      | 250   | directory | bodies for a path that takes none             |
      | 250   | directory | a header line without end                     |
      | 250   | directory | a request line without end                    |
      | 500   | directory | nothing                                       |
      | 250   | readiness | bodies for a path that takes none             |
      | 250   | readiness | a header line without end                     |
      | 250   | daemons   | bodies for a path that takes none             |
      | 250   | daemons   | chunks without end for a path of daemons      |
      | 250   | daemons   | a header line without end                     |
      | 500   | daemons   | nothing                                       |
      | 250   | metrics   | a header line without end                     |
      | 250   | front     | generated steps of seed 1                     |
      | 250   | front     | generated steps of seed 2                     |
      | 250   | directory | generated steps of seed 3                     |
      | 250   | daemons   | generated steps of seed 4                     |

  Scenario: a crowd does not read answers of a megabyte
    # Guards against answers that are held for callers who will not take them.
    Given a daemon of a host with 100 MB and 600 descriptors
    And a replica whose answers have a megabyte
    When 100 clients send requests, and read no answer to its front port
    Then the process lives, within its memory and its descriptors
    And an ordinary request is answered

  Scenario: a crowd at every port at once
    # Guards against bounds that hold for one listener and not for their sum.
    Given a daemon of a host with 100 MB and 600 descriptors
    When 100 clients send chunks without end to every port
    Then the process lives, within its memory and its descriptors
    And an ordinary request is answered

  Scenario Outline: a crowd sends <sends> to the own interface
    # Guards against the same at the daemon that is not on the platform.
    Given a daemon of the own interface, with 100 MB and 600 descriptors
    When <count> clients send <sends> to its address
    Then the process lives, within its memory and its descriptors
    And an ordinary request is answered

    Examples:
      | count | sends                                     |
      | 250   | a call of 900 kB that lacks its last byte |
      | 250   | chunks without end                        |
      | 250   | a header line without end                 |
      | 500   | nothing                                   |

  Scenario Outline: a request names <numbers> in <header>
    # Guards against memory and time that grow with a number in a header.
    Given a daemon of a host with 100 MB and 600 descriptors
    When a client names <numbers> in <header>, and others ask beside it
    Then the process lives, within its memory and its descriptors
    And it is answered before its deadline, and the others are answered in time

    Examples:
      | header          | numbers                |
      | X-Pieces        | 20000000               |
      | X-Pieces        | 300000                 |
      | X-Pieces        | 0,20000000             |
      | X-Pieces        | 999999999999999999     |
      | X-Pieces        | of 3,000 digits        |
      | X-Pieces        | two thousand of one    |
      | X-Token-Counts  | of 3,000 digits        |
      | X-Token-Counts  | 999999999999999999,1   |
      | X-Prompt-Prefix | ab:999999999999999999  |
      | X-Prompt-Prefix | of 3,000 digits        |
      | X-Deadline-Ms   | 1e308                  |
      | Last-Event-Id   | of 3,000 digits        |

  Scenario Outline: one body of the largest size <how>
    # Guards against limits that refuse what is within those of callers.
    Given a daemon of a host with 100 MB and 600 descriptors
    When one client sends a body of the largest size <how>
    Then it is answered, and its replica had the whole body

    Examples:
      | how                 |
      | with a length       |
      | in large chunks     |
      | in chunks of a byte |
