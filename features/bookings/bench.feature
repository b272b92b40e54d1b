Feature: bookings are measured in their smallest size

  Scenario: bookings under kills and store faults are measured for both columns
    When bookings are measured in their smallest size
    Then the naive bookings were doubled and the project's were not
    And the project's bookings took 3 writes each
