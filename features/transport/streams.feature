Feature: TCP streams and keep-alive connections

  Scenario: a connection whose bytes are not read
    # Guards against memory use that grows with what a caller sends.
    Given a connection between two streams
    When one side sends 8 MB that the other side does not read
    Then under 256 KB are buffered, and all of it arrives once it is read

  Scenario Outline: a wait on a connection that <ends>
    # Guards against a wait that continues after its connection has ended.
    Given a connection between two streams
    When one side waits to receive while the connection <ends>
    Then the wait ends with <error>

    Examples:
      | ends              | error               |
      | is shut down      | EndOfStream         |
      | is reset          | BrokenResourceError |
      | is closed locally | ClosedResourceError |

  Scenario: a cancelled wait loses no bytes
    # Guards against a time-out that discards bytes already received.
    Given a connection between two streams
    When a wait is cancelled just as bytes arrive
    Then the next one receives them

  Scenario: unsolicited bytes on a keep-alive connection
    # Guards against taking an answer that belongs to another request.
    Given a server that sends a second answer after the first
    When two requests follow one another
    Then the second one gets its own answer, on another connection

  Scenario: a listener that is closed while it waits
    # Guards against a stop that waits until another caller connects.
    When a listener is closed while it waits for a connection
    Then its wait ends at once
