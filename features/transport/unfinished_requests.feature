Feature: requests that are not whole give way to others

  Scenario: memory runs out while requests are being received
    # Guards against refusing small requests, or those that make progress,
    # before those that stall.
    Given these requests of a host with 10 MB for them
      | request | held kB | stalled for ms |
      | small   | 4       | 5000           |
      | stalled | 1000    | 1000           |
      | large   | 3000    | 999            |
      | medium  | 2000    | 0              |
    When the budget is exceeded by another 3900 kB
    Then stalled and large give way

  Scenario: nothing gives way below the mark
    # Guards against refusing requests while there is memory.
    Given these requests of a host with 10 MB for them
      | request | held kB | stalled for ms |
      | stalled | 1000    | 60000          |
    When the budget is exceeded by another 8000 kB
    Then nothing gives way

  Scenario: a body waits for memory that others hold without sending
    # Guards against a body that is refused since others have stopped short of
    # their end, and against refusing those that send.
    Given these requests of a host with 10 MB for them
      | request | held kB | stalled for ms |
      | sending | 2000    | 0              |
      | oldest  | 3000    | 9000           |
      | stalled | 2500    | 2000           |
    When a body of 100 kB waits for memory
    Then oldest give way
    And the body is read

  Scenario: any requests, in any order
    # Guards against what no example names: a budget that is exceeded while
    # something could give way, bytes that are never given back.
    Then no generated sequence of requests exceeds the budget or leaks

  Scenario Outline: a listener for <most> connections
    # Guards against silent callers that keep others out, and against closing
    # connections whose requests are being answered.
    Given a listener for <most> connections
    When <open> connections are opened, of which <busy> are being answered
    Then <kept> are kept, and every one that is being answered

    Examples:
      | most | open | busy | kept |
      | 8    | 8    | 0    | 8    |
      | 8    | 50   | 0    | 8    |
      | 8    | 50   | 8    | 8    |
      | 8    | 50   | 5    | 8    |

  Scenario: requests that come slowly make way after a second
    # Guards against callers that hold every connection by sending a byte now
    # and then.
    Given a listener for 8 connections
    When 8 connections send requests for 900 ms and for 1000 ms
    Then a new connection is closed first, and takes a place then

  Scenario Outline: the share of a listener on a host with <memory> MB and <fds> descriptors
    # Guards against limits that callers within those of the pages would meet,
    # and against listeners that leave nothing for connections to replicas.
    Then a host with <memory> MB and <fds> descriptors has <front> connections of callers
    And all its listeners together have at most <all>

    Examples:
      | memory | fds  | front | all  |
      | 160    | 3075 | 720   | 1840 |
      | 200    | 4100 | 1040  | 2496 |
      | 300    | 4100 | 1560  | 2496 |
      | 100    | 600  | 160   | 256  |

  Scenario Outline: what the kernel receives for a listener that keeps <bytes>
    # Guards against receive buffers that grow to megabytes for each connection
    # that is not read: the platform counts them.
    When a client sends all it can to a listener that keeps <bytes>
    Then no more than <bytes> bytes wait to be read

    Examples:
      | bytes |
      | 32768 |
      | 8192  |
