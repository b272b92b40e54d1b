Feature: the memory for callers and replicas is limited, and waits for it too

  Scenario: the limit applies to bodies of all connections together
    # Guards against running out of memory when many callers send four megabytes
    # each and no request is done; the host has 300 megabytes.
    Given bodies that hold nearly all of the memory for bodies
    When another body of a megabyte comes
    Then it is read only after one of the others is answered

  Scenario: all waiting bodies are read when memory is released
    # Guards against a waiting body that is not woken up.
    Given bodies that hold nearly all of the memory for bodies
    When two more bodies come and the others are answered
    Then both are read

  Scenario: a body that gets no memory is refused in time
    # Guards against requests that wait for memory past their deadline, and
    # against bodies that wait for each other.
    Given bodies that hold nearly all of the memory for bodies
    When another body comes and none is answered
    Then it is refused after two seconds

  Scenario Outline: a body that <ends> releases its memory
    # Guards against a leak after which the host reads no more bodies.
    When ten bodies of seven megabytes <end> and another request comes
    Then the request with a body is answered

    Examples:
      | ends                       | end                    |
      | its caller abandons        | are left by callers    |
      | arrives too slowly         | come too slowly        |

  Scenario Outline: the budget of a host with <memory> MB
    # Guards against a budget that the process exceeds, and against other limits
    # for deployments that do not tell their memory.
    Given a host with <memory> MB of memory
    Then <budget> kB may be held, and bodies wait above <mark> kB

    Examples:
      | memory | budget | mark  |
      | 160    | 55296  | 33177 |
      | 552    | 296140 | 177684 |
      | 64     | 4096   | 2457  |
      | untold | 109226 | 65536 |

  Scenario: the settings change while the daemon runs
    # Guards against a budget that is computed once.
    Given a host with 160 MB of memory
    When the settings tell 200 MB
    Then 79872 kB may be held, and bodies wait above 47923 kB

  Scenario Outline: a process that has <uncounted> MB beyond what is held
    # Guards against a budget for memory that the process already has: of many
    # small objects, libraries or a fragmented heap.
    Given a host with 160 MB of memory
    When the process has <uncounted> MB that are not counted
    Then <budget> kB may be held, and bodies wait above <mark> kB

    Examples:
      | uncounted | budget | mark  |
      | 50        | 55296  | 33177 |
      | 100       | 36864  | 22118 |
      | 200       | 4096   | 2457  |

  Scenario: the process's own memory is looked at
    # Guards against a look that finds nothing.
    Then the process is seen to have more than 10 MB

  Scenario Outline: settings with <memory> MB
    # Guards against a budget without bounds.
    Then settings with <memory> MB of memory are rejected

    Examples:
      | memory |
      | 0      |
      | -160   |
      | nan    |
      | inf    |
      | much   |

  Scenario: memory runs out
    # Guards against ending callers that read quickly, or those whose response
    # cannot be had again, before others.
    Given these readers of a host with little memory
      | reader | held kB | bytes a second | seconds | may run only once |
      | quick  | 1000    | 900000         | 10      | no                |
      | once   | 1000    | 600            | 10      | yes               |
      | small  | 20      | 600            | 10      | no                |
      | slow   | 600     | 1000           | 10      | no                |
      | new    | 500     | 0              | 0       | no                |
    When a body takes the budget above the upper mark, by 610 kB
    Then small and slow are disconnected

  Scenario: memory runs out for many
    # Guards against keeping responses that the memory does not suffice for.
    Given these readers of a host with little memory
      | reader | held kB | bytes a second | seconds | may run only once |
      | quick  | 1000    | 900000         | 10      | no                |
      | once   | 1000    | 600            | 10      | yes               |
      | new    | 500     | 0              | 0       | no                |
    When a body takes the budget above the upper mark, by 1600 kB
    Then quick and once and new are disconnected

  Scenario: memory runs out for readers of unknown pace
    # Guards against ending those first whose pace is not known yet, or those
    # whose response cannot be had again.
    Given these readers of a host with little memory
      | reader | held kB | bytes a second | seconds | may run only once |
      | quick  | 1000    | 900000         | 10      | no                |
      | once   | 1000    | 600            | 10      | yes               |
      | new    | 500     | 0              | 0       | no                |
    When a body takes the budget above the upper mark, by 900 kB
    Then quick are disconnected

  Scenario: readers that are too slow are disconnected
    # Guards against ending a slow reader too early, or never.
    Given these readers of a host with little memory
      | reader  | held kB | bytes a second | seconds | may run only once |
      | stalled | 1       | 0              | 10      | no                |
      | fresh   | 1       | 0              | 9       | no                |
      | below   | 1       | 500            | 11      | yes               |
      | above   | 1       | 520            | 11      | no                |
    When they are observed
    Then stalled and below are disconnected

  Scenario Outline: answers beyond the budget that <repeatable>
    # Guards against answers that are bounded by nothing, and against losing the
    # result of a request that may run only once.
    Given a host with 60 MB of memory
    When an answer is read that <repeatable> as more than the budget is held
    Then it <ending>

    Examples:
      | repeatable         | ending                     |
      | may be had again   | fails after two seconds    |
      | may run only once  | is read whole, and counted |
