Feature: TCP streams and connections that are kept

  Scenario: a connection whose bytes nobody receives
    # Guards against memory that grows with what a caller sends ahead.
    Given a connection between two streams
    When one side sends 8 MB that the other one does not receive
    Then under 256 KB of it are held, and all of it comes once it is received

  Scenario Outline: a wait on a connection that <ends>
    # Guards against a wait that goes on after its connection has ended.
    Given a connection between two streams
    When one side waits to receive as the connection <ends>
    Then the wait ends with <error>

    Examples:
      | ends              | error               |
      | is ended in order | EndOfStream         |
      | is reset          | BrokenResourceError |
      | is closed here    | ClosedResourceError |

  Scenario: a wait that is cancelled loses nothing
    # Guards against bytes that a time-out throws away.
    Given a connection between two streams
    When a wait is cancelled just as bytes come
    Then the next one receives them

  Scenario: bytes that nobody asked for on a kept connection
    # Guards against an answer that belongs to another request.
    Given a server that sends a second answer behind the first
    When two requests follow one another
    Then the second one gets its own answer, on another connection

  Scenario: a listener that is closed while it waits
    # Guards against a stop that waits for one caller more.
    When a listener is closed while it waits for a caller
    Then its wait ends at once
