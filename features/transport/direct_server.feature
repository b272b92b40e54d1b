Feature: daemons serve each other without a web framework

  Scenario Outline: a request <how>
    Given a direct server that echoes requests
    When an internal request comes <how>
    Then it is answered <status>, and the connection is <kept>

    Examples:
      | how                             | status | kept   |
      | in one piece                    | 200    | kept   |
      | byte by byte                    | 200    | kept   |
      | in chunks                       | 200    | kept   |
      | with a wish to close            | 200    | closed |
      | with a body that is too large   | 413    | closed |
      | with a head that is too large   | 431    | closed |
      | that is none                    | 400    | closed |
      | that meets an error             | 500    | kept   |

  Scenario: requests that follow one another without a wait
    # Guards against answers that overtake each other on one connection.
    Given a direct server that echoes requests
    When five requests come at once, the first of which takes longest
    Then each gets its own answer, in order

  Scenario: a caller that stops in the middle of a head
    # Guards against connections that stay open for nothing.
    Given a direct server that echoes requests
    When half a head comes and no more
    Then its connection is ended when its time is over

  Scenario: a direct server ends
    # Guards against connections that outlive their server.
    Given a direct server that echoes requests
    When it ends while a request is being answered
    Then the connection ends at once, and nothing listens
