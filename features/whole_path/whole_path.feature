Feature: a request is served from end to end

  Scenario: a pipeline of four stages is answered whole by every daemon
    Given a deployment of 3 daemons with four pools and a plain service
    When a caller runs the pipeline 20 times
    Then every answer is whole and its own
    And every stage ran once for each request

  Scenario: a streamed answer arrives in order, whole and once
    Given a deployment of 3 daemons with four pools and a plain service
    When a caller streams the pipeline
    Then the tokens are those that the engine generated, in order

  Scenario: a booking asked for again at another daemon runs once
    # A crew books a trailer, doubts that it worked, and asks again with the
    # same idempotency key. The client reaches another entry host, which must
    # answer from the record instead of booking a second trailer.
    Given a deployment of 3 daemons with four pools and a plain service
    When a caller books with one key at every daemon
    Then every daemon gives the same answer
    And the booking ran once
