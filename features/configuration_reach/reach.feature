Feature: a change of the store reaches every daemon in time

  Scenario Outline: <count> daemons and <trouble>
    # Guards against followers that lose their sources together, and then neither
    # read the store nor ask a daemon that has.
    Given <count> daemons whose changes must be in force within <bound> ms
    When things change beside <trouble>
    Then every daemon that can know a change has it within half of that time

    Examples: readers in trouble
      | count | bound | trouble                                      |
      | 6     | 2000  | readers that die                             |
      | 6     | 2000  | readers that the store refuses               |
      | 6     | 2000  | readers that are cut from the store          |
      | 6     | 2000  | readers that are slow                        |
      | 60    | 3000  | readers that die                             |
      | 60    | 3000  | readers that the store refuses               |
      | 60    | 3000  | readers that are cut from the store          |
      | 60    | 3000  | readers that are unreachable for all         |
      | 60    | 3000  | readers that are slow                        |
      | 60    | 3000  | answers of the store that take long          |
      | 60    | 3000  | most daemons being refused by the store      |
      | 195   | 3000  | readers that die                             |
      | 195   | 3000  | readers that the store refuses               |
      | 348   | 3000  | readers that die                             |
      | 348   | 3000  | most daemons being refused by the store      |

  Scenario: a store that is away for ten seconds
    # Guards against followers that ask one another, or the store, again and again
    # while nobody can know anything new.
    Given 60 daemons whose changes must be in force within 3000 ms
    When things change beside the store being away for ten seconds
    Then every daemon that can know a change has it within half of that time
    And daemons ask each other 6 times a second at most, each
    And none is asked more often than a reader with all its followers

  Scenario Outline: <count> daemons, links of <rate> Mbit/s, and large changes
    # Guards against large answers that are thrown away as they come too slowly,
    # and asked for again by the link that is too narrow.
    Given <count> daemons whose changes must be in force within <bound> ms
    And links of <rate> Mbit/s, of which a tenth are wide
    When an object of 790 kB changes twice, and a small one behind it
    Then every daemon has each change in time, and the small one in half of it
    And a change costs each follower 64 kB at most

    Examples:
      | count | bound | rate |
      | 64    | 3000  | 5    |
      | 64    | 3000  | 10   |
      | 195   | 4000  | 5    |
      | 195   | 4000  | 10   |
      | 348   | 4000  | 10   |

  Scenario Outline: <count> daemons start again behind a large change
    # Guards against first lists that are never whole, as each takes longer than a
    # call may.
    Given <count> daemons whose changes must be in force within <bound> ms
    And links of <rate> Mbit/s, of which a tenth are wide
    When all of them are killed and start again behind an object of 790 kB
    Then each knows all of it within 4 seconds

    Examples:
      | count | bound | rate |
      | 64    | 3000  | 5    |
      | 195   | 4000  | 5    |

  Scenario: a large change from daemons of a release that does not pack it
    # Guards against an answer that is discarded while it still comes.
    Given 6 daemons whose changes must be in force within 3000 ms
    And links of 10 Mbit/s, of which a tenth are wide
    And daemons that send all values as they are
    When an object of 790 kB changes twice, and a small one behind it
    Then every daemon has each change in time, and the small one in half of it
    And the same daemons read the store all the while
