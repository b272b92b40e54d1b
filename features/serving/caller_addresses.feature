Feature: which daemons' addresses a caller is given

  Scenario Outline: callers among <count> daemons in five data centres
    # Guards against requests to other data centres though daemons are local.
    When a caller requests addresses among <count> daemons in five data centres
    Then <local> of them are local, and <remote> remote

    Examples:
      | count | local | remote |
      | 10    | 2     | 8      |
      | 60    | 12    | 4      |
      | 195   | 39    | 4      |
      | 348   | 60    | 4      |

  Scenario: a whole data centre is lost
    # Guards against callers that have no address left.
    When all daemons local to a caller are lost among 195
    Then it still has one of each other data centre

  Scenario: one more daemon joins
    # Guards against callers that close working connections at each answer.
    When a daemon joins 348 others
    Then at most one address is no longer given to callers

  Scenario: most daemons local to a caller are busy
    # Guards against overload of one data centre while others are idle.
    When most daemons local to a caller are busy among 195
    Then it is given those of other data centres as well

  Scenario: when a process is busy
    # Guards against a host that alternates between busy and idle.
    When a process uses 20, 60, 40 and 20 in 100 of its cores for a second each
    Then it is idle, busy, still busy and idle
