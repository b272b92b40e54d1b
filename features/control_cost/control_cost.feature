Feature: what control costs a daemon

  Scenario: the measurement of real daemons runs in its smallest size
    When the daemon cost case of the bench runs tiny
    Then each daemon sent few messages of control
