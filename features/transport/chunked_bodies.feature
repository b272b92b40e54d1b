Feature: chunked bodies are read in time that their bytes justify

  Scenario: any chunks, cut anywhere
    # Guards against a body that is not the caller's, and against an end that
    # is found in the wrong place: what follows would be another request.
    Then every generated body is read as it was sent, whatever follows it

  Scenario Outline: <what> around chunks
    # Guards against memory and time for what is no body.
    When a body comes with <what> around its chunks
    Then it is refused as no chunked body

    Examples:
      | what                         |
      | an extension of 100 kB       |
      | trailers of 100 kB           |
      | a size that is no number     |
      | a size with a sign           |
      | a size of 20 digits          |
      | more than the size says      |
