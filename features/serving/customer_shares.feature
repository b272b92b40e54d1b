Feature: shares of customers of an overloaded stage service

  Scenario: one customer at ten times its share costs the others little
    # In the order without shares, every customer's requests are late or refused
    # in proportion to the overload, whoever causes it.
    Given 16 customers that request 0.8 of an equal share each
    When one of them requests ten times its share, from the first request on
    Then each of the others keeps 0.9 of what it had alone, after two seconds
    And without shares one of them keeps less than 0.7

  Scenario: customers exactly at their share keep it together
    # Requests arrive at random, so some of the customers are just over their
    # share. Treated like the one far over it, they would lose to it.
    Given 16 customers that request 1.0 of an equal share each
    When one of them requests ten times its share, from the first request on
    Then the others together keep 0.9 of what they had alone
    And without shares they keep less than 0.7

  Scenario: the next decider learns the demand within two seconds
    # The demand is known to the decider only, and is lost with it.
    Given 16 customers that request 0.8 of an equal share each
    When one of them requests ten times its share and the decider is lost
    Then each of the others keeps 0.9 of what it had alone, after two seconds

  Scenario: without overload nothing changes
    # Shares that were enforced without need would delay requests of the
    # largest customer while capacity is idle.
    Given 16 customers that request 0.4 of an equal share each
    When one of them requests four times its share, from the first request on
    Then the calls are the same as without shares

  Scenario: a customer with a tiny weight is served at the floor
    # Weights are configured by people; a weight of nearly 0 would stop a
    # customer entirely for as long as the overload lasts.
    Given 16 customers that request 1.5 of an equal share each
    When one of them has a weight of 0.001
    Then it is served a quarter of an equal share
    And without the floor it is served less than half of that
    And nothing waits longer than three seconds

  Scenario: a customer with twice the weight is served twice as much
    Given 16 customers that request 3.0 of an equal share each
    When one of them has a weight of 2
    Then it is served 1.7 to 2.3 times as much as the others

  Scenario: work of unknown customers keeps its part
    # Daemons of an older release state no customer. Counted as one customer,
    # all their callers together would get the share of one.
    Given 16 customers that request 1.5 of an equal share each
    When half of the work arrives without a customer
    Then it is served 0.4 to 0.6 of all pieces

  Scenario: a higher priority is not affected by the overload of a lower one
    # Shares apply among requests of the same priority.
    Given 16 customers that request 0.3 of an equal share each
    When one of them requests ten times its share at a lower priority
    Then the urgent requests of each customer are served as without the others

  Scenario: shares use up the capacity and leave nobody below the floor
    When fair shares of random demands and weights are computed
    Then the used shares add up to the capacity
    And nobody with enough demand gets less than the floor
    And no share is more per weight than another unless by the floor

  Scenario Outline: a message with an invalid customer is read without it
    # Messages come from daemons of other releases.
    When a message of stage work has the customer <value>
    Then its customer is <read>

    Examples:
      | value   | read  |
      | absent  | empty |
      | null    | empty |
      | 7       | empty |
      | ["a"]   | empty |
      | "a"     | a     |

  Scenario: invalid weights and many customers are bounded
    # A name per message would otherwise grow the decider's memory.
    When 5000 customers request work, with weights of 0, -1, nan and inf
    Then at most 1025 are held, and all shares are finite and above 0

  Scenario: the weight of a customer reaches the decider's queue
    When a decider gets work of a customer with weight 3 and of an unknown one
    Then their groups have weights 3 and 1

  Scenario: the beginning of overload is logged once, with who causes it
    # A line per refused request would drop other lines of the same kind.
    Given a batcher whose service is overloaded by one of two customers
    When work arrives for half a second
    Then one line names the customer above its share, with demand and share
    And further work of that customer is refused at once for that reason

  Scenario Outline: the final line and the metrics of a request name the customer
    # Without them an operator cannot tell who pays for an overload.
    When a request of customer "a" ends as <end>
    Then the final log line names "a"
    And the customer's counter has one request that is <outcome>

    Examples:
      | end      | outcome |
      | on time  | served  |
      | late     | late    |
      | refused  | refused |
      | broken   | failed  |
      | left     | left    |
      | cut      | cut     |

  Scenario: more customers than have metrics of their own are aggregated
    # Series of every name would exceed the memory of small hosts.
    When requests of 300 customers end
    Then 256 have a counter, and the other 44 requests are counted together
