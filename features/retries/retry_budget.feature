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
