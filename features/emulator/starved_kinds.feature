Feature: no kind of request is starved when a stage has lost replicas

  Scenario: a kind with large results beside a chain keeps its floor
    # Guards against a narrow stage whose calls go to requests that are all late
    # by a little, while the results that they made wait in scarce memory.
    Given the scenario of a lost replica of the second stage
    When the lost replica is played with three seeds
    Then each kind earns at least 0.30 of its worth in each play
    And no kind of the chain earns 0.15 less than a less urgent one
