Feature: which daemons a caller is told of

  Scenario Outline: callers among <count> daemons in five data centres
    # Guards against requests that cross data centres though daemons are near.
    When a caller asks for addresses among <count> daemons in five data centres
    Then <near> of them are near, and <far> elsewhere

    Examples:
      | count | near | far |
      | 10    | 2    | 8   |
      | 60    | 12   | 4   |
      | 195   | 39   | 4   |
      | 348   | 60   | 4   |

  Scenario: a data centre is lost as a whole
    # Guards against callers that have no address left.
    When all daemons near a caller are lost among 195
    Then it still knows one of each other data centre

  Scenario: one more daemon comes
    # Guards against callers that close good connections at each answer.
    When a daemon joins 348 others
    Then at most one address that callers know is told of no more

  Scenario: most daemons near a caller are busy
    # Guards against one data centre that sinks under a crowd beside idle ones.
    When most daemons near a caller are busy among 195
    Then it is told of those of other data centres as well

  Scenario: when a process is busy
    # Guards against a host that calls itself busy and calm by turns.
    When a process uses 20, 60, 40 and 20 in 100 of its cores for a second each
    Then it is calm, busy, still busy and calm
