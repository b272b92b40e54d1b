Feature: the platform's object service is called sparingly and truthfully

  Scenario: a long outage and its end cause no stampede
    # The store is down for long. Daemons that retry at once keep hammering
    # it, and all come back in the same instant when it rises, which brings it
    # down again.
    Given a store watched by 6 daemons
    When the watched store is down for 10 minutes
    Then no daemon called it more than 1 time a second on average
    And in no second after its end came more than 30 calls
    And every daemon is confirmed by the store again within 10 seconds

  Scenario: a read is repeated and a write is not
    # The store answers neither a read nor a write. A read may be repeated; a
    # second write could take effect twice, so its writer is told "unknown".
    Given a guarded store
    When its answers to 2 reads and 1 write are lost
    Then the read is answered at the third try
    And the write was made once and its outcome is unknown

  Scenario: one daemon cannot spend the platform's calls
    # A fault in one daemon makes it read in a loop. The platform counts each
    # call, and every other daemon would suffer.
    Given a guarded store
    When a daemon reads 3000 times at once
    Then no more reads go out than the budget allows
    And the others fail as not sent, with a time to come back

  Scenario: a cancelled probe does not keep the store away for good
    # The store was down and calls are held back. The one call that probes it
    # belongs to a request that is cancelled, so it never reports back.
    Given a guarded store
    When the store fails and the probe that finds it back is cancelled
    Then a later call is let through
