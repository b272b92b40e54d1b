Feature: a few daemons read the store and the others follow them

  Scenario Outline: how many of <count> daemons read the store
    # Guards against calls to the store that grow with the number of hosts.
    When <count> daemons in five data centres choose who reads the store
    Then <readers> of them do, in different data centres
    And no reader has over 64 followers on average
    And without one of the readers its followers have another one

    Examples:
      | count | readers |
      | 1     | 1       |
      | 6     | 2       |
      | 61    | 2       |
      | 195   | 4       |
      | 348   | 6       |

  Scenario: large hosts that have warmed up are preferred as readers
    # Guards against a reader that is too small or has no state yet.
    When hosts of two sizes choose who reads the store
    Then the first reader is a large host that has run for a while

  Scenario: calls to the store follow its changes
    # Guards against a watch for each daemon; each change ends all watches.
    Given 60 daemons that follow the store
    When 20 things change in 30 seconds
    Then only its readers call the store, for each change and each wait once
    And each daemon has seen each change once, in order

  Scenario: a change reaches all daemons without delay
    # Guards against followers that poll at intervals only.
    Given 60 daemons that follow the store
    When a thing changes
    Then all daemons have it within 200 ms

  Scenario Outline: a change reaches the followers of a reader that <fault>
    # Guards against a follower that trusts a reader without updates.
    Given 60 daemons that follow the store
    When a reader <fault> and a thing changes
    Then all other daemons have it within 1600 ms

    Examples:
      | fault                   |
      | is cut from the store   |
      | is frozen               |
      | becomes unreachable     |
      | has died                |

  Scenario: the store is down
    # Guards against excessive calls from all daemons to a store that is down.
    Given 60 daemons that follow the store
    When the store is down for ten seconds and a thing changes as it returns
    Then it gets under 10 calls a daemon in that time
    And all daemons have the change within two seconds

  Scenario: daemons that the store rejects
    # Guards against a change that does not reach some hosts.
    Given 6 daemons that follow the store
    When the store rejects all but one of them and a thing changes
    Then all daemons have it within 2500 ms

  Scenario: a reader that lags behind
    # Guards against a state that goes back when its source changes.
    When a daemon receives an older state than its own from another one
    Then it keeps its own state

  Scenario: the store's history is lost
    # Guards against followers that miss changes made before a reader relisted.
    Given 6 daemons that follow the store
    When things change while the store's history is lost
    Then all daemons have them within two seconds
