Feature: engines and pieces are placed near their inputs

  Scenario: a new subject gets an engine in the data centre of its inputs
    # The stages of a request compute four megabytes, which its engine fetches.
    # No engine has a prefix of the subject cached, so any of them may prefill
    # it.
    Given nine engines in three data centres
    When requests of new subjects with 4 MB of inputs in one of them are placed
    Then nearly all of them get an engine there
    And without inputs they are spread over all three

  Scenario: an engine that has prefilled a long subject outweighs a transfer
    # A repeated prefill of 13,000 tokens costs more than the transfer of four
    # megabytes.
    Given nine engines in three data centres
    When a subject was prefilled in one and 4 MB for it are in another
    Then it is placed where it was prefilled

  Scenario: the last pieces of a request are computed where the first were
    # One reader fetches all results of the request.
    Given a stage queue with calls of 5 pieces and two replicas
    When a request of 7 large results without inputs is queued
    Then its last 2 pieces wait for the replica that computed the first 5

  Scenario: a short queue waits for the local replica, a long one does not
    # Inputs occupy memory while their pieces are queued. With a short queue
    # that delays no other request, whereas a transfer between data centres
    # takes time.
    Given a stage queue with calls of 5 pieces and two replicas
    When 3 pieces are queued with inputs at a replica that is busy for 270 ms
    Then the free replica skips them
    And it takes them once 4 more are queued without a data centre
