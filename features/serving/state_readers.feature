Feature: a few daemons read the store and tell the others

  Scenario Outline: how many of <count> daemons read
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

  Scenario: a large host reads for small ones, and a new one for nobody
    # Guards against a small host, or one that knows nothing yet, that all ask.
    When hosts of two sizes choose who reads the store
    Then the first reader is a large host that has run for a while

  Scenario: calls to the store follow its changes
    # Guards against a watch of each daemon, which each change ends.
    Given 60 daemons that follow the store
    When 20 things change in 30 seconds
    Then only its readers call the store, for each change and each wait once
    And each daemon has seen each change once, in order

  Scenario: a change reaches all at once
    # Guards against followers that ask at times only.
    Given 60 daemons that follow the store
    When a thing changes
    Then all daemons know it within 200 ms

  Scenario Outline: a change reaches the followers of a reader that <fault>
    # Guards against a follower that trusts a reader without news.
    Given 60 daemons that follow the store
    When a reader <fault> and a thing changes
    Then all other daemons know it within 1600 ms

    Examples:
      | fault                   |
      | is cut from the store   |
      | is frozen               |
      | is gone without a word  |
      | has died                |

  Scenario: the store is away
    # Guards against all daemons that call a store that does not answer.
    Given 60 daemons that follow the store
    When the store is away for ten seconds and a thing changes as it returns
    Then it gets under 10 calls a daemon meanwhile
    And all daemons know the change within two seconds

  Scenario: a daemon that the store turns away
    # Guards against a configuration that does not reach some hosts.
    Given 6 daemons that follow the store
    When the store turns all but one of them away and a thing changes
    Then all daemons know it within 2500 ms

  Scenario: a reader that lags behind
    # Guards against a state that goes back as its source changes.
    When a daemon is told an older state by another one than it has
    Then it keeps what it has

  Scenario: a reader whose history is gone
    # Guards against followers that miss what changed before a reader listed.
    Given 6 daemons that follow the store
    When things change while the store's history is lost
    Then all daemons know them within two seconds
