Feature: the deployments with hard load in the emulator

  Scenario: replicas that share their machines with other work
    # Guards against reports of slowdown that cost more than they are worth, and
    # against emulated replicas that do not state them.
    Given the scenario of hard load, cut down to dossiers
    When it is played as it is and blind to the reported slowdown
    Then at least as much is earned as without the reports

  Scenario: customers change nothing else of a play
    # Guards against random numbers that are drawn for customers in between, with
    # which plays could not be compared, and against a demand that is ignored.
    Given the scenario of hard load, cut down to dossiers
    When its requests are drawn with and without customers
    Then they differ in their customers only
    And the large customer sends five times as many as others
