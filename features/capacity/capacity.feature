Feature: the capacity page stands on what was measured

  Scenario Outline: the daemon is measured while <axis> grow
    When the capacity axis "<axis>" is measured in its smallest sizes
    Then there is a sample for each size with CPU, memory and messages
    And a line is fitted to each quantity
    And nothing that was asked for failed

    Examples:
      | axis             |
      | daemons          |
      | replicas         |
      | customers        |
      | models           |
      | pipelines        |
      | changes_per_hour |
      | requests         |
      | open_streams     |
      | tokens           |

  Scenario: the tables of the page are those of its figures
    Then docs/CAPACITY.md holds the tables of docs/capacity.json

  Scenario: a cell can be recomputed by hand
    Given capacity figures with a slope of 2 and an intercept of 3 for daemons
    Then membership at the target takes 703 of each quantity
    And one that is over its budget stands as over
