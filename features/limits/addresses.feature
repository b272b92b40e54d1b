Feature: answers name the daemons that serve the caller's customer

  Scenario: a caller at a daemon outside its list is served and gets the list
    # A caller uses an outdated address: the fleet has grown and other daemons
    # serve its customer. Its request is answered nevertheless, and the answer
    # names the daemons to use from now on.
    Given an addresses deployment of 12 daemons
    When a caller holds only the address of a daemon outside its list
    Then its request is answered
    And from then on it calls only daemons of its list

  Scenario: a caller with the current list gets no list
    Given an addresses deployment of 12 daemons
    When a caller that has asked for addresses sends 5 requests
    Then no answer names addresses again

  Scenario: the list grows with demand and callers follow
    # A customer's demand grows tenfold. Without a larger list the same six
    # daemons would receive all of it; the callers are given more daemons.
    Given an addresses deployment of 12 daemons
    When a caller sends 15 requests a second for 15 seconds
    Then its requests reach more than 6 daemons
    And none of its requests failed

  Scenario: a list shrinks only after a minute of low demand
    # Demand that fluctuates within a minute must not change the callers' lists,
    # since each change loses cached prefixes.
    Given an addresses account of a customer with 100 requests a second
    When its demand is 30 a second, and then 2 for 59 seconds
    Then its list is as large as before
    And after 2 more seconds it is the smallest

  Scenario: the subsets bench runs in its tiny size
    When the addresses bench compares the ways to place customers
    Then loans refuse fewer below the limit than equal shares do
    And the bench says messages, warm prefixes and load for each way

  Scenario Outline: every list survives the loss of a data centre or region
    # Ten data centres in three regions, or in one. After the loss of any one,
    # each of 210 customers must still have daemons in its list.
    Given an addresses fleet of 350 daemons, 10 data centres, <regions> regions
    When the lists of 210 customers are computed
    Then no data centre holds more than 2 and no region more than <in_region> of a list
    And a larger list begins with the smaller one
    And without a daemon only the lists that held it change, by one address

    Examples:
      | regions | in_region |
      | 3       | 2         |
      | 1       | 6         |

  Scenario: a limit's owner dies in a deployment of complete daemons
    # As with the limits fleet, but with the real membership service: while it
    # still lists the dead owner, callers below their limit must be admitted.
    Given an addresses deployment of 6 daemons
    When its limit's owner dies while callers send half of their limit
    Then at most 10 percent were refused, and never for longer than 2000 ms

  Scenario: limits are enforced while the store is down
    # The platform's store is unavailable for an hour. Limits are kept by the
    # daemons and do not depend on it.
    Given an addresses deployment of 3 daemons
    When the store goes down and a caller sends 3 times its limit for 20 seconds
    Then it gets its limit and burst and no more
