Feature: the measurements of stops and bookings run in their smallest size

  Scenario: the rolling restart is measured for both columns
    When the rolling restart is measured in its smallest size
    Then it has a row for the naive and one for the project's stop
    And the project's stop cut and doubled nothing
