Feature: a stop gives each request in flight its final answer in time

  Scenario: what a request waits for decides how long it may wait at a stop
    # Guards against a request that is cut, and against one that is given up
    # though it could still be served.
    Given a stop in ten seconds and a route whose attempts take four
    When requests wait for stages, for a replica and for the end of a stream
    Then the first is ended while another attempt would not end in time
    And the second is ended with the last answers, the third is not
