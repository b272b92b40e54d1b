Feature: callers that read slowly

  Scenario: slow callers of a host with little memory
    # Guards against a process that is killed for its memory, and replicas that
    # are held by callers.
    Given callers of a small host that are served as they are
    When 60 callers read answers and streams of a megabyte slowly
    Then what was held stays below the mark, and replicas are released
    And each answer is whole, or does not look complete
    And others are answered quickly, and nothing is held at the end

  Scenario: slow callers, read at their pace
    # The baseline must miss the bound on replicas.
    Given callers of a small host that are served at callers' pace
    When 60 callers read answers and streams of a megabyte slowly
    Then replicas are not released

  Scenario: slow callers, without a budget
    # The baseline must miss the bound on memory.
    Given callers of a small host that are served without a budget
    When 60 callers read answers and streams of a megabyte slowly
    Then what was held passes the budget

  Scenario: a caller that stops reading
    # Guards against callers that hold memory for ever, and against ending
    # those that only read slowly.
    When one caller reads nothing and another 1 kB a second for 13 seconds
    Then only the one that reads nothing is disconnected, after 10 seconds

  Scenario Outline: bytes are pending as <end>
    # Guards against leaks, and against cut answers that look complete.
    When bytes are pending for a stream as <end>
    Then they are given back, and the answer does not look complete

    Examples:
      | end                    |
      | its replica cuts it    |
      | its caller disconnects |
      | the daemon stops       |

  Scenario: a network stack that does not tell what a caller has acknowledged
    # Guards against callers whose connections end as the daemon asks the kernel
    # for what it holds, which not every stack answers.
    When a caller reads a stream slowly on a stack that does not tell
    Then it gets the whole stream

  Scenario: an engine that breaks off a stream of which bytes are pending
    # Guards against events that are lost or doubled as the stream goes on at
    # another engine behind what the caller has yet to read.
    When an engine breaks off a stream that its caller has not read yet
    Then the caller gets every event once and in order, from both engines

  Scenario: a replica that does not read
    # Guards against requests to slow replicas that are counted nowhere.
    When a request of 8 MB is sent to a replica that does not read
    Then its bytes are held until the request is given up

  Scenario: bodies that get no memory
    # Guards against refusals that nobody sees, and against a line for each.
    When three bodies of a megabyte come as the budget is spent
    Then they are refused with 503, counted, and logged once
