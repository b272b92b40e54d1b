Feature: The retries of all daemons

  Scenario Outline: retries of <count> daemons as <trouble>
    # Guards against daemons that pass their shared allowance as processes,
    # daemon counts or traffic change.
    When <count> daemons retry as often as they may as <trouble>
    Then replicas get no more retries in any window than the allowance

    Examples: sizes
      | count | trouble                                |
      | 6     | half of them restart twice             |
      | 64    | half of them restart twice             |
      | 195   | half of them restart twice             |
      | 348   | half of them restart twice             |
      | 6     | all restart in turn                    |
      | 64    | all restart in turn                    |
      | 195   | all restart in turn                    |
      | 348   | all restart in turn                    |
      | 6     | all lose power twice                   |
      | 64    | all lose power twice                   |
      | 195   | all lose power twice                   |
      | 348   | all lose power twice                   |
      | 6     | half restart without the store         |
      | 64    | half restart without the store         |
      | 195   | half restart without the store         |
      | 348   | half restart without the store         |
      | 6     | half restart and know nobody           |
      | 64    | half restart and know nobody           |
      | 195   | half restart and know nobody           |
      | 348   | half restart and know nobody           |
      | 6     | a third is replaced                    |
      | 64    | a third is replaced                    |
      | 195   | a third is replaced                    |
      | 348   | a third is replaced                    |
      | 6     | the traffic falls                      |
      | 64    | the traffic falls                      |
      | 195   | the traffic falls                      |
      | 348   | the traffic falls                      |
      | 6     | the traffic moves between data centres |
      | 64    | the traffic moves between data centres |
      | 195   | the traffic moves between data centres |
      | 348   | the traffic moves between data centres |
      | 6     | retries wait for the service           |
      | 64    | retries wait for the service           |
      | 195   | retries wait for the service           |
      | 348   | retries wait for the service           |
      | 6     | retries arrive late                    |
      | 64    | retries arrive late                    |
      | 195   | retries arrive late                    |
      | 348   | retries arrive late                    |

  Scenario: retries of daemons with several troubles at once
    # Guards against troubles that are each harmless alone.
    When daemons with 40 random mixes of troubles retry as often as they may
    Then replicas get no more retries in any window than the allowance

  Scenario Outline: retries of <count> daemons without trouble
    # Guards against a budget that stays within the allowance by refusing.
    When <count> daemons retry as often as they may without trouble
    Then they use at least seven tenths of the allowance

    Examples: sizes
      | count |
      | 6     |
      | 64    |
      | 195   |
      | 348   |

  Scenario Outline: <count> daemons with less slack than one retry for each
    # Guards against retries that all daemons save up and send at once, and
    # against none at all.
    When <count> daemons share a slack of <slack>
    Then replicas get no more retries in any window than the allowance
    And they use at least 60 in a hundred of it

    Examples: slacks
      | count | slack |
      | 64    | 58    |
      | 348   | 58    |

  Scenario Outline: charged retries that are <ended> nine seconds later
    # Guards against retries that leave the window before they are sent, and
    # against those that stay charged for ever.
    Given a daemon that has charged all retries that it may
    When each of them is <ended> nine seconds later
    Then <count> more are allowed at once, and <later> after a window

    Examples: ends
      | ended    | count | later |
      | sent     | 0     | 5     |
      | returned | 7     | 7     |

  Scenario: a retry counts as sent once it is written to a replica
    # Guards against a retry that is returned though a replica has got it.
    Given a daemon that has charged all retries that it may
    When one of them is written to a replica
    Then one fewer is still to be sent

  Scenario: a daemon that has just started, as a process
    # Guards against a share that its predecessor may have used up.
    When replicas fail the first request of a daemon that has just started
    Then it is not sent again

  Scenario: retries of nine emulated daemons that are killed as replicas crash
    # Guards against retries that are charged and never sent or returned, and
    # against sends that are not charged.
    When replicas crash in a row before daemons of which half are killed twice
    Then no service gets more retries in any window than the allowance
    And no daemon holds a charged retry once its requests have ended
