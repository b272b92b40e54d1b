Feature: limits that replicas state hold over all daemons

  Scenario Outline: <count> daemons, and <trouble>
    # Guards against daemons that together send a replica in need more than it
    # states, as they hear of its limit, forget it, or change the decider.
    Given <count> daemons whose engines state limits
    When they serve requests beside <trouble>
    Then no engine gets more than it tolerates, three seconds after each change
    And the limited engines get some requests, and the decider knows the limits

    Examples: fleets
      | count | trouble                                |
      | 6     | nothing else                           |
      | 6     | deciders that stop in turn             |
      | 6     | deciders that are killed               |
      | 6     | deciders that freeze                   |
      | 6     | two daemons that are cut from the rest |
      | 64    | nothing else                           |
      | 64    | deciders that stop in turn             |
      | 64    | deciders that are killed               |
      | 64    | deciders that freeze                   |
      | 64    | two daemons that are cut from the rest |
      | 195   | deciders that stop in turn             |
      | 195   | deciders that freeze                   |
      | 348   | nothing else                           |
      | 348   | deciders that are killed               |

  Scenario: daemons in any state of membership keep to a limit together
    # Guards against deciders that each send what one may: after a partition, a
    # mass start, stops in turn, or gossip that is late.
    When the machine of a stated limit runs 60 examples
    Then no example exceeds the stated limit
    And daemons that leave out any of the guards exceed it
