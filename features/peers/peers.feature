Feature: the paths between daemons are for the deployment's daemons

  Scenario: a stranger's gossip is refused and changes nothing
    # Somebody who can reach an entry host posts gossip that names his own
    # machine a live daemon. Callers would be told its address, and would send
    # it their tokens.
    Given a peers deployment of 3 daemons
    When a stranger posts gossip that names itself a daemon
    Then the stranger is refused as forbidden
    And no caller is told the stranger's address

  Scenario: a stranger can't read the configuration between daemons
    Given a peers deployment of 3 daemons
    When a stranger asks for the configuration's head with a wrong token
    Then the stranger is refused as forbidden

  Scenario: a list of addresses never outlives a stopping daemon's linger
    # A plain caller keeps a list for the lifetime it was told. A daemon that
    # stopped meanwhile and closed its port would cut that caller's request.
    Given a peers deployment of 3 daemons
    Then its addresses are valid for less than a stop lingers
