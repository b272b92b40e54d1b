Feature: operators are known before and after the first submission

  Scenario: the settings' operator sees the status of an unconfigured daemon
    # An operator submits at one daemon and asks another for the status. That
    # one has nothing in force yet, so it knows no configured operator, and
    # refused the operator's own token.
    Given a deployment of 1 daemon with nothing in force
    When the settings' operator asks for the status
    Then the status names the daemon with revision 0
    And a wrong token is refused
