Feature: limits by customer hold over all daemons

  Scenario: a customer whose callers hold one address has its whole limit
    # A depot's only caller keeps one entry host's address and sends half of
    # what its customer may. With an equal share for each daemon most of it
    # is refused, although the customer is far below its limit.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    When its callers send 5 a second to one daemon for 60 seconds
    Then the limits fleet refused none of them
    And the static limits refuse more than half of the same requests

  Scenario: a customer near its limit at all daemons is refused next to nothing
    # Callers spread over all entry hosts send four fifths of the limit. What
    # one host has borrowed and doesn't need must not be missing at another.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    When its callers send 8 a second to any daemon for 60 seconds
    Then the limits fleet refused at most 1 percent of them

  Scenario: a greedy customer gets its limit and no more
    # A runaway script sends three times the limit to every entry host. The
    # customer still gets its whole limit, over all hosts together.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    When its callers send 30 a second to any daemon for 60 seconds
    Then the limits fleet admitted at least 95 percent of the limit
    And no window of it went over limit and burst by more than one term
    And the owner of the limit was asked at most 15 times a second
    And without limits the same requests go over

  Scenario: the owner of a limit dies
    # The host that lends out a customer's limit dies. The other hosts can't
    # borrow for as long as they believe in it; callers below the limit must
    # not be locked out meanwhile, nor the limit be given twice.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    When its callers send 5 a second and the owner dies after 20 seconds
    Then the limits fleet refused at most 10 percent of them
    And nobody of it was locked out for more than 1500 ms
    And no window of it went over limit and burst by more than one term

  Scenario: the owner of a limit is frozen and wakes
    # The owner's host is suspended after the burst was spent; another owner
    # lends for 20 seconds. Once awake, the first one believes that its
    # account has filled up again, and gives the burst a second time.
    Given a limits fleet of 6 daemons and a customer with 2 requests a second
    And its burst is 40
    When its owner is frozen for 20 seconds and wakes under a rush
    Then no window of it went over limit and burst by more than 12

  Scenario: the owner of a limit is frozen for so short that nobody notices
    # The host stands still for four seconds and the others admit their equal
    # parts, as they can't borrow. Once awake, its account must not have grown
    # for the same four seconds.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    And its burst is 40
    When its owner is frozen for 4500 ms and is never suspected
    Then no window of it went over limit and burst by more than 5

  Scenario: daemons disagree about who owns a limit
    # A host has just started and owns a limit; the caller's host has not heard
    # of it and asks the former owner, which names the new one. If both lent,
    # the customer would have the limit twice.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    When a caller's daemon has not heard of the owner that just started
    Then the limits fleet refused none of them
    And only the owner that just started has lent to it

  Scenario: every daemon is stopping
    # A planned stop of the whole fleet: nobody is listed any more, but callers
    # that hold an address are served until they have moved. Without an owner
    # among the listed daemons their requests must not be refused.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    When its callers send 5 a second while every daemon stops
    Then the limits fleet refused none of them

  Scenario: a frozen borrower wakes with an old loan
    # A host that borrowed is suspended; what it holds has been lent to others
    # since. Once awake, it must ask anew rather than spend the old loan.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    When a borrower of 8 tokens is frozen for 10 seconds
    Then it holds none of them when it wakes

  Scenario: daemons are cut from each other for a while
    # A switch between two halves fails for 20 seconds. Each half takes the
    # other for dead and would lend the whole limit; while each remembers the
    # other, the two halves' parts make up one limit.
    Given a limits fleet of 6 daemons and a customer with 10 requests a second
    When its halves are cut apart for 20 seconds under a rush
    Then no window of it went over limit and burst by more than 60
    And with no memory of lost daemons it goes over by more than 60

  Scenario: a lowered limit is in force within a term
    # An operator lowers a limit during a rush. Rates lent before last until
    # their term ends; from then on the lower limit holds at every daemon.
    Given a limits fleet of 6 daemons and a customer with 60 requests a second
    When its limit is lowered to 6 during a rush
    Then after one term no window of it went over the lower limit and burst

  Scenario: limits hold under any faults, and naive ones don't
    # Bursts, kills, freezes, cuts one way or both, and changed limits, at any
    # moment and together: no window goes over what is stated, and a customer
    # below its limit is not refused once things are calm.
    When the limits machine runs 12 examples of the project's limits
    Then the limits oracle objects to nothing
    And the limits oracle catches static shares and no limits
