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
