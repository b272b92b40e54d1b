Feature: the guarantees of requests under combined and repeated faults

  Scenario: no order of requests and faults violates a guarantee
    # Backend servers are killed, freeze, are cut off in one direction, swap
    # and lose answers and leave, at any moment of whole, streamed and
    # non-repeatable requests. A caller must get the complete answer to its own
    # request or a correct refusal in time, and a call that may not be repeated
    # must run at most once.
    When the request machine runs 70 examples
    Then the request oracle found no violated guarantee

  Scenario: the request oracle catches a naive runner
    When the request machine runs 20 examples on the naive runner
    Then the request oracle found a violated guarantee
