Feature: limits by customer are enforced across all daemons

  Scenario: a customer whose callers use one address has its whole limit
    # All requests of a customer arrive at one daemon, at half of its limit.
    # With an equal share for each daemon most of them would be refused,
    # although the customer is far below its limit.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    When its callers send 5 a second to one daemon for 60 seconds
    Then the limits fleet refused none of them
    And the static limits refuse more than half of the same requests

  Scenario: a customer near its limit at all daemons is almost never refused
    # Callers send four fifths of the limit, spread over all daemons. Quota
    # leased to one daemon and unused there must not be missing at another.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    When its callers send 8 a second to any daemon for 60 seconds
    Then the limits fleet refused at most 1 percent of them

  Scenario: a greedy customer gets its limit and no more
    # A customer sends three times its limit, spread over all daemons. It still
    # gets its whole limit over all daemons together, and no more.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    When its callers send 30 a second to any daemon for 60 seconds
    Then the limits fleet admitted at least 95 percent of the limit
    And no time window exceeded limit and burst by more than one lease term
    And the owner of the limit got at most 15 lease requests a second
    And without limits the same requests exceed the limit

  Scenario: the owner of a limit dies
    # The daemon that owns a customer's limit dies. The others get no leases
    # until the membership has detected it; meanwhile callers below the limit
    # must not be refused for long, nor the limit be granted twice.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    When its callers send 5 a second and the owner dies after 20 seconds
    Then the limits fleet refused at most 10 percent of them
    And no period of only refusals lasted longer than 1500 ms
    And no time window exceeded limit and burst by more than one lease term

  Scenario: the owner of a limit is suspended and resumes
    # The owner is suspended after the burst was spent; another owner grants
    # leases for 20 seconds. If the first one refilled its account for that time
    # when it resumes, it would grant the burst a second time.
    Given a limits fleet of 6 daemons and a customer with 2 requests a second
    And its burst is 40
    When its owner is suspended for 20 seconds and resumes under overload
    Then no time window exceeded limit and burst by more than 12

  Scenario: the owner of a limit is suspended too briefly to be suspected
    # The owner is suspended for four seconds, and the others admit equal shares
    # as they get no leases. When it resumes, its account must not be refilled
    # for the same four seconds.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    And its burst is 40
    When its owner is suspended for 4500 ms and is never suspected
    Then no time window exceeded limit and burst by more than 5

  Scenario: daemons disagree about who owns a limit
    # A daemon has just started and owns a limit. The caller's daemon does not
    # know it yet and sends its lease request to the former owner, which names
    # the new one. If both granted leases, the customer would get its limit
    # twice.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    When a caller's daemon does not know the owner that just started
    Then the limits fleet refused none of them
    And only the owner that just started has granted leases

  Scenario: every daemon is stopping
    # A planned stop of the whole fleet: no daemon is listed any more, but
    # callers that still use an address are served. Their requests must not be
    # refused for lack of an owner among the listed daemons.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    When its callers send 5 a second while every daemon stops
    Then the limits fleet refused none of them

  Scenario: a suspended daemon resumes with an expired lease
    # A daemon with a lease is suspended, and its quota is granted to others.
    # When it resumes, it must request a new lease and not use the expired one.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    When a daemon with a lease of 8 tokens is suspended for 10 seconds
    Then it has none of them when it resumes

  Scenario: the network is partitioned for a while
    # Two halves of the fleet cannot reach each other for 20 seconds. Each half
    # considers the other dead and would grant the whole limit; while each
    # counts the daemons it has lost, both together grant one limit.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    When its halves are partitioned for 20 seconds under overload
    Then no time window exceeded limit and burst by more than 60
    And without tracking lost daemons it exceeds them by more than 60

  Scenario: a lowered limit is in force within a term
    # A limit is lowered under overload. Rates leased before remain valid until
    # their term ends; from then on every daemon enforces the lower limit.
    Given a limits fleet of 6 daemons and a customer with 60 requests a second
    When its limit is lowered to 6 under overload
    Then after one lease term no time window exceeded the lower limit and burst

  Scenario: limits are enforced under any faults, unlike naive ones
    # Bursts, kills, suspensions, one-way and two-way partitions and changed
    # limits, at any time and in any combination: no time window exceeds the
    # stated error, and a customer below its limit is not refused once all
    # faults have ended.
    When the limits machine runs 12 examples of the project's limits
    Then the limits oracle finds no violation
    And the limits oracle detects static shares and missing limits
