Feature: limits that replicas state

  Scenario Outline: a replica that <answers> has <limit>
    # Guards against a limit that is lost, or kept after its end, as answers of one
    # replica arrive in another order than it gave them.
    When a replica <answers>
    Then its known limit is <limit>

    Examples: one daemon
      | answers                                              | limit |
      | states no limit                                      | none  |
      | states 1 a second                                    | 1     |
      | states 2.5, then 1 a second                          | 1     |
      | states 1, then answers a later request without       | none  |
      | states 1, then answers an earlier request without    | 1     |
      | states 1, ends it, then states 2                     | 2     |
      | states 1, and starts again                           | none  |
      | states a limit that cannot be read                   | 0     |
      | states 1, and refuses a later request without        | 1     |

  Scenario Outline: deciders that follow each other within seconds and <know> a limit
    # Guards against deciders that each begin with what the one before has spent.
    Given four daemons that <know> a limit of 0.25 a second
    When each is the decider for a second and sends what it may
    Then together they send no more than is tolerated in four seconds

    Examples: knowledge
      | know         |
      | long knew    |
      | have to hear |

  Scenario: handles are freed at a limited replica of a stage within its limit
    # Guards against a call for each piece that is freed, beside the calls that the
    # limit allows.
    Given a decider of a stage service with one limited and one other replica
    When a handle of each is freed every 20 ms for eight seconds
    Then the limited one is called for it at most three times in four seconds
    And no handle is left out at either
