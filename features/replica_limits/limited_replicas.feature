Feature: replicas that state how many requests they take

  Scenario Outline: limited replicas, beside <trouble>
    # Guards against daemons that send a replica in need more than it states, each
    # one for itself or all together.
    Given the scenario of limited replicas, beside <trouble>
    When it is played with two seeds
    Then limited replicas get requests, and none gets more than it states

    Examples: troubles
      | trouble                             |
      | nothing more                        |
      | daemons that start again in turn    |
      | a third of the daemons being killed |
      | a third of the daemons being cut    |

  Scenario: limited replicas are used within their limits
    # Guards against a limit that the scenario does not need, and against limited
    # replicas that stand idle.
    Given the scenario of limited replicas, beside nothing more
    When it is played with our limit, with none, and with limited ones left out
    Then limited replicas get more than they state without a limit
    And they get more requests with ours than if they are left out
