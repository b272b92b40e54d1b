Feature: the memory for bodies is bounded, and nobody waits for it for ever

  Scenario: bodies that wait are bounded over all connections
    # Many callers send four megabytes each and none is done. The host has 300.
    Given bodies that hold nearly all the memory they may
    When another body of a megabyte comes
    Then it is read only after one of the others is answered

  Scenario: all bodies that wait are read as memory is given back
    # Guards against a waiting body that nobody wakes.
    Given bodies that hold nearly all the memory they may
    When two more bodies come and the others are answered
    Then both are read

  Scenario: a body that finds no memory is refused in time
    # Guards against requests that wait for memory beyond their own time, and
    # against bodies that wait for each other.
    Given bodies that hold nearly all the memory they may
    When another body comes and none is answered
    Then it is refused after two seconds

  Scenario Outline: a body that <ends> gives its memory back
    # Guards against a host that in the end reads no body any more.
    When ten bodies of seven megabytes <end> and another request comes
    Then the request with a body is answered

    Examples:
      | ends                       | end                    |
      | its caller leaves          | are left by callers    |
      | comes too slowly           | come too slowly        |
