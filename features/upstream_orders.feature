@instances.3 @plan.market
Feature: The platform gets upstream orders from one process in charge

  Scenario: answers to purchases are lost after they took effect
    Given the platform loses the answers of the next 2 upstream orders
    When an operator asks for 2 more engines
    Then the platform brought 2 engines
    And every purchase ran once

  Scenario: purchases take effect after their sender gave up
    Given the platform carries out upstream orders 6 seconds late
    When an operator asks for 1 more engine
    Then the platform brought 1 engine
    And every purchase ran once

  Scenario: a holder paused over its lease while it buys
    Given the platform answers no upstream orders
    When an operator asks for 2 more engines
    And an upstream order is open
    And the holder's control is paused
    Given the platform answers upstream orders
    Then the platform brought 2 engines
    When the paused control goes on
    Then no order of an older term came after a newer one
    And every purchase ran once
    And the fence ends the paused control

  Scenario: a holder killed while its purchase takes effect late
    Given the platform carries out upstream orders 6 seconds late
    When an operator asks for 1 more engine
    And an upstream order is open
    And the holder's control is killed
    Then the platform brought 1 engine
    And every purchase ran once
