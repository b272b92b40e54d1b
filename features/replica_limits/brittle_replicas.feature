Feature: replicas that fall over if they have to refuse too many requests

  Scenario: brittle replicas of a plain service under clumps of requests
    # Guards against daemons that together send a brittle replica more than it has
    # room for, until the requests that it refuses make it fall over.
    Given the scenario of brittle replicas
    When it is played with two seeds
    Then they fall over no more often than is tolerated
    And nearly all requests are answered
