Feature: Limits that are divided among all daemons

  Scenario: a daemon that knows no others yet takes the smallest part
    # Guards against a daemon that starts as the store is away, and divides
    # what hundreds share by the few that its settings name.
    Given a daemon among 20 that knows only its settings
    Then it opens one connection to a replica and decides for nobody
    And a stream that it can tell nobody of counts as not told
    When it learns of the others
    Then it opens its part of the connections and sees most daemons

  Scenario Outline: other daemons count as known <when>
    # Guards against a part that is taken before gossip has told of all.
    Given a daemon that has <listed> the list, and knows <others> others
    When it has run for <ran> ms
    Then the number of daemons is <known>

    Examples: ways to learn
      | when                               | listed   | others | ran   | known   |
      | as soon as the list was read       | read     | 0      | 0     | known   |
      | not from the settings              | not read | 0      | 60000 | unknown |
      | not as the first of them is found  | not read | 3      | 500   | unknown |
      | once gossip had time to reach all  | not read | 3      | 2100  | known   |

  Scenario: daemons that have left count for a window
    # Guards against a part that grows while what left daemons sent still counts.
    Given a daemon that counts 9 daemons
    When it counts 4 a second later
    Then limits are divided by 9 until ten seconds later, and then by 4
