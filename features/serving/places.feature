Feature: results are fetched where they lie

  Scenario: an engine for a new subject stands where its inputs lie
    # A dossier's stages make four megabytes, which its engine fetches. No engine
    # knows the subject, and any of them may read it.
    Given nine engines in three data centres
    When requests of new subjects with 4 MB of inputs in one of them are placed
    Then nearly all of them get an engine there
    And without inputs they are spread over all three

  Scenario: an engine that has read a long subject is worth the way
    # Reading 13,000 tokens again costs more than carrying four megabytes.
    Given nine engines in three data centres
    When a subject was read in one and 4 MB for it lie in another
    Then it is placed where it was read

  Scenario: the rest of a request's pieces is made where the first was
    # Whoever fetches the results fetches all of them.
    Given a stage queue with calls of 5 pieces and two replicas
    When a request of 7 large results without inputs is queued
    Then its last 2 pieces wait for the replica that made the first 5

  Scenario: a short queue waits for the near replica, a long one does not
    # Inputs hold memory as long as they wait. While little waits that costs
    # nobody anything, and the way between data centres does.
    Given a stage queue with calls of 5 pieces and two replicas
    When 3 pieces wait whose inputs lie with a replica that is busy for 270 ms
    Then the free replica leaves them alone
    And it takes them where 4 more wait that belong nowhere
