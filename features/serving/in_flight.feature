Feature: before a stop each request in flight gets its final answer

  Scenario: what a request waits for decides when a stop cancels it
    # Guards against requests that the stop interrupts without an answer, and
    # against requests that are cancelled though they could still be served.
    Given a stop in ten seconds and a route whose attempts take four
    When requests wait for stages, for a replica and for the end of a stream
    Then the first is cancelled once an attempt would no longer end in time
    And the second is cancelled at the time of the last answers, the third not
