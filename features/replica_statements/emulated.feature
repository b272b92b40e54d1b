Feature: replicas that leave or ask for rest, beside other trouble

  Scenario Outline: replicas that leave or rest, beside <trouble>
    # Guards against requests, streams and stages that go on to a replica whose
    # answers said that it leaves or wants rest.
    Given the scenario of replicas that leave or rest, beside <trouble>
    When it is played with two seeds
    Then replicas say both, and none gets what it said it does not want
    And callers are served

    Examples: troubles
      | trouble                              |
      | nothing more                         |
      | daemons that restart one by one      |
      | a third of the daemons being killed  |
      | a third of the daemons being cut     |
      | daemons that reach no replica        |
      | crashes of replicas                  |
