Feature: answers of other hosts are read whole or not at all

  Scenario: answers in any pieces, cut anywhere, beside another parser
    # Guards against an answer that is taken for whole and is not, or the other
    # way round.
    When drawn answers are read by our parser and by h11
    Then both find the same head, body and end

  Scenario: a parser that takes each end for a whole answer is found out
    # Guards against a comparison that proves nothing.
    When drawn answers are read by a parser that overlooks where they are cut
    Then it differs from h11

  Scenario Outline: an answer with <what>
    When an answer with <what> is read
    Then the answer is <outcome>

    Examples:
      | what                          | outcome                        |
      | a length                      | whole, the connection is kept  |
      | chunks                        | whole, the connection is kept  |
      | a wish to close               | whole, the connection is not   |
      | another answer behind it      | whole, the connection is not   |
      | bytes behind a wish to close  | whole, the connection is not   |
      | an interim answer before it   | whole, the connection is kept  |
      | no length and an end          | whole, the connection is not   |
      | two lengths                   | refused                        |
      | a length and chunks           | refused                        |
      | a head without an end         | refused                        |
      | other bytes                   | refused                        |

  Scenario Outline: a request with <what> is not sent
    # Guards against a value of a backend server that becomes a header of another
    # request.
    When a request with <what> is sent
    Then sending fails as not sent

    Examples:
      | what                        |
      | a line end in a header      |
      | a line end in a header name |
      | a space in its target       |
      | a zero byte in a header     |
