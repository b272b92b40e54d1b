Feature: requests keep the promises under any faults, together and twice

  Scenario: no order of requests and faults breaks a promise of requests
    # Backend servers die, freeze, are cut off one way, cross and lose answers
    # and leave, at any moment of whole, streamed and non-repeatable requests.
    # A caller must get its own whole answer or a true refusal in time, and a
    # call that may not be repeated must run at most once.
    When the request machine runs 70 examples
    Then the request oracle found no broken promise

  Scenario: the request oracle catches a naive runner
    When the request machine runs 20 examples on the naive runner
    Then the request oracle found a broken promise
