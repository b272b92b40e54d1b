Feature: internal paths accept only the daemons of the deployment

  Scenario: gossip from an unauthorized host is refused and has no effect
    # An attacker who can reach an entry host posts gossip that lists another
    # machine as a live daemon. Callers would be given its address and would
    # send it their tokens.
    Given a peers deployment of 3 daemons
    When an unauthorized host posts gossip with itself as a daemon
    Then the unauthorized host is refused as forbidden
    And no caller is given the address of the unauthorized host

  Scenario: an unauthorized host can't read the configuration from a daemon
    Given a peers deployment of 3 daemons
    When an unauthorized host requests the configuration's head with a wrong token
    Then the unauthorized host is refused as forbidden

  Scenario: the lifetime of a list of addresses is shorter than a daemon's linger
    # A plain caller keeps a list for the lifetime in the answer. If a daemon
    # in the list closed its port before that, the caller's request would fail.
    Given a peers deployment of 3 daemons
    Then its addresses are valid for less than the linger of a stop
