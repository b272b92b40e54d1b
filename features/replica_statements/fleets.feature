Feature: what replicas say holds over all daemons

  Scenario Outline: <count> daemons, and <trouble>
    # Guards against a decider that offers replicas which leave or rest, and
    # against daemons that learn of a leaving replica only from its own answers.
    Given <count> daemons whose replicas leave or ask for rest
    When they send requests beside <trouble>
    Then a second after any was told no daemon in touch sends to a leaving replica
    And no daemon sends to a replica within the rest that it asked for
    And requests go to the other replicas
    And daemons tell each other of a leaving replica a few times at most

    Examples: fleets
      | count | trouble                                |
      | 6     | nothing else                           |
      | 6     | daemons that are killed                |
      | 6     | two daemons that are cut from the rest |
      | 64    | nothing else                           |
      | 64    | daemons that are killed                |
      | 195   | two daemons that are cut from the rest |
      | 348   | nothing else                           |
