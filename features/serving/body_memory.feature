Feature: the memory for request bodies is limited, and waits for it are too

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
